#include "base/digits.h"

#include <glib.h>

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

bool
dgt_parse_hex (const char *text, uint64_t *out)
{
  uint64_t value = 0;

  for (uint32_t i = 0; i < DGT_HEX_BYTES; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return false;
      value = value << 4 | (uint64_t)digit;
    }
  *out = value;
  return true;
}
