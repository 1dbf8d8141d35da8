#include "base/digits.h"

char *
dgt_u64 (char *out, uint64_t value)
{
  char digits[DGT_U64_BYTES];
  uint32_t count = 0;

  do
    digits[count++] = (char)('0' + value % 10);
  while ((value /= 10) != 0);
  while (count > 0)
    *out++ = digits[--count];
  return out;
}

char *
dgt_hex (char *out, uint64_t value)
{
  static const char digits[] = "0123456789abcdef";

  for (int shift = 60; shift >= 0; shift -= 4)
    *out++ = digits[value >> shift & 0xf];
  return out;
}
