#include <cstdio>

int main() {
  std::puts("hyssopd " HYSSOPLEDGE_VERSION);
  return 0;
}
