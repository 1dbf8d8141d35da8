/**
 * DOC: raw_answer
 *
 * Reads an answer as a caller does, without the code under test.
 */
#ifndef TESTS_RAW_ANSWER_H
#define TESTS_RAW_ANSWER_H

#include <glib.h>
#include <stdbool.h>

/** raw_answer_read() - append the body of an answer with a length or in chunks. Return: whether a
 * caller takes it for whole, with nothing behind it */
bool raw_answer_read (const char *text, GString *body);

#endif
