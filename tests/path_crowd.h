/**
 * DOC: path_crowd
 *
 * Sends more requests than the engines take at once, so that the sidecars queue some of them.
 */
#ifndef TESTS_PATH_CROWD_H
#define TESTS_PATH_CROWD_H

#include "path_fleet.h"

#define PFL_CROWD 60 /* requests; the engines take fewer at once */

/** struct pfl_crowd - answers to requests that were sent at once */
typedef struct
{
  pfl_t *testbed;
  pfl_answer_t answers[PFL_CROWD];
} pfl_crowd_t;

/** pfl_held() - number of requests that the engines hold */
uint32_t pfl_held (const pfl_t *testbed);
/**
 * pfl_start_crowd() - sends copies of @request to engines in mode PFL_HANG
 *
 * Return: true once each copy is held by an engine, queued or answered; false after ten seconds
 */
bool pfl_start_crowd (pfl_crowd_t *burst, const pfl_request_t *request);
/** pfl_open() - number of requests that are not answered yet */
uint32_t pfl_open (const pfl_crowd_t *burst);
/** pfl_waiting() - number of requests that are queued at a sidecar */
uint64_t pfl_waiting (const pfl_daemon_t *sidecar);
/**
 * pfl_rest_waits() - condition for pfl_until(): some requests are queued, and all that are neither
 * queued nor answered were received by an engine; @context is a pfl_crowd_t
 */
bool pfl_rest_waits (void *context);

#endif
