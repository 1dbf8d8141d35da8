#include "base/digits.h"

#include <glib.h>

char *
digits_write_u64 (char *out, uint64_t value)
{
  char digits[DIGITS_U64_BYTES];
  uint32_t count = 0;

  do
    digits[count++] = (char)('0' + value % 10);
  while ((value /= 10) != 0);
  while (count > 0)
    *out++ = digits[--count];
  return out;
}

char *
digits_write_hex (char *out, uint64_t value)
{
  static const char digits[] = "0123456789abcdef";

  for (int shift = 60; shift >= 0; shift -= 4)
    *out++ = digits[value >> shift & 0xf];
  return out;
}

bool
digits_parse_hex (const char *text, uint64_t *out)
{
  uint64_t value = 0;

  for (uint32_t i = 0; i < DIGITS_HEX_BYTES; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return false;
      value = value << 4 | (uint64_t)digit;
    }
  *out = value;
  return true;
}
