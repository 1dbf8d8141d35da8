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

#define DGT_U64_BYTES 20 /* most decimal digits of a uint64_t, without a final NUL */
#define DGT_HEX_BYTES 16 /* hexadecimal digits of a uint64_t, without a final NUL */

/** dgt_u64() - write @value in decimal, without a final NUL. Return: its end */
char *dgt_u64 (char *out, uint64_t value);
/** dgt_hex() - write @value as sixteen lower-case hexadecimal digits, without a final NUL. Return:
 * the end of the text */
char *dgt_hex (char *out, uint64_t value);
/** dgt_parse_hex() - parse sixteen hexadecimal digits of either case; text after them is ignored.
 * Return: false, with @out unchanged, if @text begins with fewer */
bool dgt_parse_hex (const char *text, uint64_t *out);

#endif
