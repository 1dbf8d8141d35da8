/**
 * DOC: odd_values
 *
 * Records with one odd field: each field of a valid JSON object in turn, with each kind of value
 * that a reader may not expect there.
 */
#ifndef TESTS_ODD_VALUES_H
#define TESTS_ODD_VALUES_H

#include <glib.h>
#include <stdint.h>

/** struct odd_field - a field of a record; @text: its valid value, as JSON */
typedef struct
{
  const char *name;
  const char *text;
} odd_field_t;

/** odd_values_record() - an object of @count fields; @position below @count gives that one the
 * value
 * @text instead, or omits it when that is NULL */
char *
odd_values_record (const odd_field_t *fields, uint32_t count, uint32_t position, const char *text);
/** odd_values_make() - records with one odd field each, and some that are odd as a whole. Return:
 * an array of GString */
GPtrArray *odd_values_make (const odd_field_t *fields, uint32_t count);
/** odd_values_mutate() - change, insert or remove a few bytes or tokens at random places of @text
 */
void odd_values_mutate (GRand *rand, GString *text);

#endif
