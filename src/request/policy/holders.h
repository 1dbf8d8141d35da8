/**
 * DOC: holders
 *
 * Which engines hold the shared parts of which prompts, as far as gateways have seen: each notes
 * where a prompt was read, and tells the others what they can't know by rank. A pure state machine
 * of bounded size.
 *
 * By rank alone a part moves to each new engine that ranks first for it, though the engine that
 * holds it lives and has room; and where an engine before in rank was full, the copy is taken from
 * one that lacks it, and 10,000 tokens are read again. What is known here is a guess all the same:
 * engines drop what is not used, and news may be lost. A wrong guess costs one reading.
 */
#ifndef REQUEST_POLICY_HOLDERS_H
#define REQUEST_POLICY_HOLDERS_H

#include <stdbool.h>
#include <stdint.h>

#define HLD_ENGINES 4    /* that are known for one prompt: more copies than a hot part needs */
#define HLD_PROMPTS 4096 /* known; 72 bytes each, of which only those in use are ever touched */
/* An engine drops what was not used for some 40 s when it is busy; what it has dropped is read
 * again, as if nothing had been known. */
#define HLD_KEPT_US (UINT64_C (60) * 1000 * 1000)
/* What was told within this time is known to all: at 540 requests a second and 31 gateways each
 * sees a prompt every 50 s, and would forget it. */
#define HLD_RETELL_US (UINT64_C (15) * 1000 * 1000)
#define HLD_NEWS 64 /* that wait to be told; older ones are left out */
/* Messages of one gateway that carry a piece of news, by each that hears of it: of 31 gateways 29
 * hear of it. */
#define HLD_SENDS 3

/** struct hld_fact - the engine had the parts of the prompt in its cache at @at_us; hashes of both
 */
typedef struct
{
  uint64_t prompt;
  uint64_t engine;
  uint64_t at_us;
} hld_fact_t;

typedef struct hld hld_t;

hld_t *hld_new (void);
void hld_free (hld_t *hld);
/** hld_note() - an engine has read a prompt, seen here or heard from a peer; what is news is told
 * to peers. Return: whether it is news */
bool hld_note (hld_t *hld, uint64_t now_us, const hld_fact_t *fact);
/** hld_find() - engines that hold @prompt, the one seen last first. Return: how many */
uint32_t hld_find (const hld_t *hld, uint64_t now_us, uint64_t prompt, hld_fact_t out[HLD_ENGINES]);
/** hld_take_news() - up to @want pieces to tell now, those told least first. Return: how many */
uint32_t hld_take_news (hld_t *hld, uint64_t now_us, hld_fact_t *out, uint32_t want);

#endif
