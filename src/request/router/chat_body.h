/**
 * DOC: chat_body
 *
 * What the router reads of a chat completion's body: the model, the output asked for, and the first
 * messages, which name a chat whose caller sends no chat id.
 */
#ifndef REQUEST_ROUTER_CHAT_BODY_H
#define REQUEST_ROUTER_CHAT_BODY_H

#include "base/limits.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CBD_PATH "/v1/chat/completions"
#define CBD_DEPTH 32

/**
 * struct cbd - read by cbd_parse(), cleared by cbd_clear()
 * @opening: the system message and the first user message as text, or NULL
 * @max_tokens: 0 when not given
 * @returning: it holds an answer already, so its context may be warm somewhere
 */
typedef struct
{
  char model[LIM_NAME_BYTES];
  char *opening;
  uint32_t opening_bytes;
  uint32_t max_tokens;
  bool returning;
} cbd_t;

/** cbd_parse() - Return: NULL, or what is wrong with the body */
const char *cbd_parse (cbd_t *cbd, const char *body, size_t body_bytes);
void cbd_clear (cbd_t *cbd);

#endif
