/**
 * DOC: load_answer
 *
 * Parses the answers of stand-in engines and checks that each belongs to its request: an answer
 * contains the hash of the request body.
 */
#ifndef BENCH_LOAD_ANSWER_H
#define BENCH_LOAD_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum load_answer_verdict - whether an answer belongs to its request */
typedef enum
{
  LOAD_ANSWER_MATCHES,  /* complete, with the hash of this request's body */
  LOAD_ANSWER_MISMATCH, /* complete, but with another hash: it belongs to another request */
  LOAD_ANSWER_MALFORMED /* truncated or malformed */
} load_answer_verdict_t;

/**
 * struct load_answer - a parsed answer
 * @text: the generated text, or as much as could be read; to be freed by g_free()
 * @prompt_tokens, @completion_tokens, @cached_tokens: from the usage in the answer, 0 if missing
 */
typedef struct
{
  load_answer_verdict_t verdict;
  char *text;
  uint64_t prompt_tokens;
  uint64_t completion_tokens;
  uint64_t cached_tokens;
} load_answer_t;

/** enum load_answer_kind - the format of an answer */
typedef enum
{
  LOAD_ANSWER_CHAT,   /* a chat completion as one JSON object */
  LOAD_ANSWER_STREAM, /* a chat completion as server-sent events */
  LOAD_ANSWER_PLAIN   /* a JSON object with the field body_hash, of a request without a chat */
} load_answer_kind_t;

/** load_answer_error_code() - the code in the body of an error, or NULL; to be freed by g_free() */
char *load_answer_error_code (const GString *answer);

/** load_answer_parse() - parses @answer; @body_hash is the XXH64 of the request's body */
load_answer_t
load_answer_parse (load_answer_kind_t kind, const GString *answer, uint64_t body_hash);

#endif
