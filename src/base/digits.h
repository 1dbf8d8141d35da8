/**
 * DOC: digits
 *
 * Formats and parses integers without printf(), which is too slow for numbers that are written
 * several times per request.
 */
#ifndef BASE_DIGITS_H
#define BASE_DIGITS_H

#include <stdbool.h>
#include <stdint.h>

#define DIGITS_U64_BYTES 20 /* most decimal digits of a uint64_t, without a final NUL */
#define DIGITS_HEX_BYTES 16 /* hexadecimal digits of a uint64_t, without a final NUL */

/** digits_write_u64() - write @value in decimal, without a final NUL. Return: its end */
char *digits_write_u64 (char *out, uint64_t value);
/** digits_write_hex() - write @value as sixteen lower-case hexadecimal digits, without a final NUL.
 * Return: the end of the text */
char *digits_write_hex (char *out, uint64_t value);
/** digits_parse_hex() - parse sixteen hexadecimal digits of either case; text after them is
 * ignored. Return: false, with @out unchanged, if @text begins with fewer */
bool digits_parse_hex (const char *text, uint64_t *out);

#endif
