/**
 * DOC: run_copies
 *
 * Copies of the caches of runs, of the stand-in upstream: those that it sends to other upstreams
 * while its runs grow, and those that it keeps for others. How upstreams pass them to each other is
 * their own affair and not a part of their published interface.
 */
#ifndef STANDIN_RUN_COPIES_H
#define STANDIN_RUN_COPIES_H

#include "http_call.h"

/* A copy is dropped this long after its last part. */
#define RUN_COPIES_LIFETIME_US (UINT64_C (5000) * 1000)
/* Copies that there is room for. */
#define RUN_COPIES_MAX 64

typedef struct run_copies run_copies_t;

/** run_copies_new() - without copies; @address is IP:PORT, by which callers know this upstream */
run_copies_t *run_copies_new (struct event_base *base, const char *address);
void run_copies_free (run_copies_t *copies);
/** run_copies_send() - sends what is new of the cache of the run @id to the upstream @target, or
 * with @has_ended that the copy is needed no more; does nothing if @target is NULL */
void run_copies_send (run_copies_t *copies, const char *target, const char *id, bool has_ended);
/** run_copies_receive() - handles a part that another upstream sends. Return: false if the call is
 * another one */
bool run_copies_receive (run_copies_t *copies, uint64_t now_us, http_call_t *call);
/**
 * run_copies_take() - uses the copy that a request names, which can be used once
 * @from: IP:PORT/ID, or NULL if the request names none
 *
 * Return: false if there is no such copy, so that the request must not run
 */
bool run_copies_take (run_copies_t *copies, uint64_t now_us, const char *from);
/** run_copies_count() - number of copies that are kept */
uint32_t run_copies_count (const run_copies_t *copies);

#endif
