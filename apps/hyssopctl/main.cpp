#include <cstdio>

int main() {
  std::puts("hyssopctl " HYSSOPLEDGE_VERSION);
  return 0;
}
