/**
 * DOC: position
 *
 * A position in a stream of the platform. Offsets alone do not order records: when the platform
 * comes back from a copy, offsets go back and are given out again, in a higher era. So positions
 * are compared by era first, here and nowhere else.
 */
#ifndef BASE_POSITION_H
#define BASE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

/* decimal digits of both numbers, the point between them and the final NUL */
#define POSITION_TEXT_BYTES 42

/**
 * struct position - a position; all zero is the beginning
 * @era: number of the platform's last restoration from a copy; 0 when the platform doesn't state it
 * @offset: number of the record in the stream
 */
typedef struct
{
  uint64_t era;
  uint64_t offset;
} position_t;

/** position_compare() - Return: less than, equal to or greater than 0, as @a is before, at or after
 * @b */
int position_compare (position_t a, position_t b);
/** position_is_before() - whether @a is before @b */
bool position_is_before (position_t a, position_t b);
bool position_equal (position_t a, position_t b);
/** position_later() - the later one of two positions */
position_t position_later (position_t a, position_t b);
/** position_from() - the position of @offset in the era that a response states; a response that
 * states none is from the era of @known */
position_t position_from (position_t known, uint64_t era, uint64_t offset);
/** position_format() - format as "ERA.OFFSET", without an era as "OFFSET" */
void position_format (position_t position, char text[POSITION_TEXT_BYTES]);
/** position_parse() - parse what position_format() formats. Return: false, with @out unchanged, for
 * any other text */
bool position_parse (const char *text, position_t *out);

#endif
