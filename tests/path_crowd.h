/**
 * DOC: path_crowd
 *
 * More requests than the engines of a fleet take at once, so that some of them wait.
 */
#ifndef TESTS_PATH_CROWD_H
#define TESTS_PATH_CROWD_H

#include "path_fleet.h"

#define PFL_CROWD 60

/** struct pfl_crowd - requests more than the engines take at once */
typedef struct
{
  pfl_t *fleet;
  pfl_answer_t answers[PFL_CROWD];
} pfl_crowd_t;

/** pfl_held() - requests that hang at the engines */
uint32_t pfl_held (const pfl_t *fleet);
/** pfl_start_crowd() - send it to engines that hold all, until the rest waits. Return: it does */
bool pfl_start_crowd (pfl_crowd_t *crowd, const pfl_request_t *request);
/** pfl_open() - requests of a crowd that are not answered yet */
uint32_t pfl_open (const pfl_crowd_t *crowd);
/** pfl_waiting() - requests that wait at a sidecar */
uint64_t pfl_waiting (const pfl_daemon_t *sidecar);
/** pfl_rest_waits() - condition: of a crowd, all not passed on and not refused wait at a sidecar */
bool pfl_rest_waits (void *context);

#endif
