/**
 * DOC: chat_body
 *
 * Parses the parts of a chat completion request that the router needs: the model, the limit of
 * output tokens, and the first messages, which identify a chat whose caller sends no chat id.
 */
#ifndef REQUEST_ROUTER_CHAT_BODY_H
#define REQUEST_ROUTER_CHAT_BODY_H

#include "base/limits.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CHAT_BODY_PATH "/v1/chat/completions"
/* Nesting depth of the JSON body; the parser recurses once for each level. */
#define CHAT_BODY_MAX_DEPTH 32

/**
 * struct chat_body - fields of a chat completion request; filled by chat_body_parse(), freed by
 * chat_body_clear()
 * @opening: contents of the messages up to and including the first user message, each as JSON on a
 *   line of its own; NULL if the body could not be parsed
 * @opening_bytes: length of @opening without the final NUL
 * @max_tokens: limit of output tokens, 0 when not given
 * @returning: the messages contain an answer of the assistant, so an engine may have the chat's
 *   context in its cache
 */
typedef struct
{
  char model[LIMIT_NAME_BYTES];
  char *opening;
  uint32_t opening_bytes;
  uint32_t max_tokens;
  bool returning;
} chat_body_t;

/**
 * chat_body_parse() - parses the body of a chat completion request
 *
 * Return: NULL, or an error message for the caller; chat_body_clear() is to be called either way
 */
const char *chat_body_parse (chat_body_t *chat, const char *body, size_t body_bytes);
/** chat_body_clear() - frees what @chat owns; a zeroed struct is allowed */
void chat_body_clear (chat_body_t *chat);

#endif
