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

/** enum lan_verdict - whether an answer belongs to its request */
typedef enum
{
  LAN_OWN,    /* complete, with the hash of this request's body */
  LAN_OTHERS, /* complete, but with another hash: it belongs to another request */
  LAN_BROKEN  /* truncated or malformed */
} lan_verdict_t;

/**
 * struct lan - a parsed answer
 * @text: the generated text, or as much as could be read; to be freed by g_free()
 * @prompt_tokens, @completion_tokens, @cached_tokens: from the usage in the answer, 0 if missing
 */
typedef struct
{
  lan_verdict_t verdict;
  char *text;
  uint64_t prompt_tokens;
  uint64_t completion_tokens;
  uint64_t cached_tokens;
} lan_t;

/** enum lan_kind - the format of an answer */
typedef enum
{
  LAN_CHAT,   /* a chat completion as one JSON object */
  LAN_STREAM, /* a chat completion as server-sent events */
  LAN_PLAIN   /* a JSON object with the field body_hash, of a request without a chat */
} lan_kind_t;

/** lan_error_code() - the code in the body of an error, or NULL; to be freed by g_free() */
char *lan_error_code (const GString *answer);

/** lan_read() - parses @answer; @body_hash is the XXH64 of the request's body */
lan_t lan_read (lan_kind_t kind, const GString *answer, uint64_t body_hash);

#endif
