/**
 * DOC: rendezvous
 *
 * Weighted rendezvous hashing of chats over the engines of a service. The hash is of an engine's
 * name and not of its address, so an engine that was replaced or was away gets its chats back.
 */
#ifndef REQUEST_POLICY_PLACEMENT_RENDEZVOUS_H
#define REQUEST_POLICY_PLACEMENT_RENDEZVOUS_H

#include <stdint.h>

#define RENDEZVOUS_RANK_MAX 64 /* maximum number of engines that rendezvous_rank() returns */

/**
 * struct rendezvous_engine - one engine
 * @hash: rendezvous_hash_name() of the engine's name
 * @index: number that the caller identifies it by
 * @weight: relative share of the chats; 1 is the usual one, 0 leaves the engine out
 */
typedef struct
{
  uint64_t hash;
  uint32_t index;
  float weight;
} rendezvous_engine_t;

/** rendezvous_hash_name() - hash of a name, such as that of an engine, service, account or shard */
uint64_t rendezvous_hash_name (const char *name);
/** rendezvous_hash_chat() - hash of a chat; equal ids of two accounts have different hashes */
uint64_t rendezvous_hash_chat (const char *account, const char *chat_id);
/** rendezvous_hash_body() - hash of the first messages of a chat, used for requests without a chat
 * id */
uint64_t rendezvous_hash_body (const char *account, const char *text, uint32_t text_bytes);
/** rendezvous_score() - score of an engine for a chat; the highest ranks first */
double
rendezvous_score (uint64_t service_hash, uint64_t chat_hash, uint64_t engine_hash, float weight);

/**
 * rendezvous_rank() - finds the engines with the highest scores for a chat
 * @out: receives the index of up to @want engines, the highest score first
 *
 * Takes O(engines x log want) time and allocates no memory.
 *
 * Return: the number of engines in @out
 */
uint32_t rendezvous_rank (const rendezvous_engine_t *engines,
                          uint32_t engine_count,
                          uint64_t service_hash,
                          uint64_t chat_hash,
                          uint32_t *out,
                          uint32_t want);

#endif
