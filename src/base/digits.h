/**
 * DOC: digits
 *
 * Numbers as text without printf, for what is written several times for each request, and back.
 */
#ifndef BASE_DIGITS_H
#define BASE_DIGITS_H

#include <stdbool.h>
#include <stdint.h>

#define DGT_U64_BYTES 20 /* at most, without a final NUL */
#define DGT_HEX_BYTES 16

/** dgt_u64() - decimal. Return: the end of what was written; no final NUL */
char *dgt_u64 (char *out, uint64_t value);
/** dgt_hex() - all sixteen digits. Return: as dgt_u64() */
char *dgt_hex (char *out, uint64_t value);
/** dgt_parse_hex() - all sixteen digits, in either case; what follows them is not read. Return:
 * false, with @out as it was, when one of them is none */
bool dgt_parse_hex (const char *text, uint64_t *out);

#endif
