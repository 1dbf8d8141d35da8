/**
 * DOC: place
 *
 * Weighted rendezvous hashing of chats over the engines of a service. Keyed by engine names, not
 * addresses, so that an engine that was replaced or flapped gets its chats back.
 */
#ifndef REQUEST_POLICY_PLACE_H
#define REQUEST_POLICY_PLACE_H

#include <stdint.h>

#define PLC_WANT_MAX 64 /* candidates that plc_rank() gives at most */

/** struct plc_engine - one engine as a candidate; @weight 1 is ordinary, 0 means not a candidate */
typedef struct
{
  uint64_t hash;  /* plc_hash_name() of the engine */
  uint32_t index; /* the caller's own number for it */
  float weight;
} plc_engine_t;

uint64_t plc_hash_name (const char *name);
/** plc_hash_chat() - a chat of an account; ids of two accounts never collide but by hash */
uint64_t plc_hash_chat (const char *account, const char *chat_id);
/** plc_hash_body() - stands in for a chat id: the first messages of a chat */
uint64_t plc_hash_body (const char *account, const char *text, uint32_t text_bytes);
/** plc_score() - higher goes first */
double plc_score (uint64_t service_hash, uint64_t chat_hash, uint64_t engine_hash, float weight);

/**
 * plc_rank() - the best candidates of a chat, best first
 * @out: room for @want indices
 *
 * Return: how many were found. O(engines x log want), no memory taken.
 */
uint32_t plc_rank (const plc_engine_t *engines,
                   uint32_t engine_count,
                   uint64_t service_hash,
                   uint64_t chat_hash,
                   uint32_t *out,
                   uint32_t want);

#endif
