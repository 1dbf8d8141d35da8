/**
 * DOC: testbed_burst
 *
 * Sends more requests than the engines take at once, so that the sidecars queue some of them.
 */
#ifndef TESTS_TESTBED_BURST_H
#define TESTS_TESTBED_BURST_H

#include "testbed.h"

#define TESTBED_BURST_REQUESTS 60 /* requests; the engines take fewer at once */

/** struct testbed_burst - answers to requests that were sent at once */
typedef struct
{
  testbed_t *testbed;
  testbed_answer_t answers[TESTBED_BURST_REQUESTS];
} testbed_burst_t;

/** testbed_count_held() - number of requests that the engines hold */
uint32_t testbed_count_held (const testbed_t *testbed);
/**
 * testbed_burst_start() - sends copies of @request to engines in mode TESTBED_HOLD
 *
 * Return: true once each copy is held by an engine, queued or answered; false after ten seconds
 */
bool testbed_burst_start (testbed_burst_t *burst, const testbed_request_t *request);
/** testbed_burst_count_open() - number of requests that are not answered yet */
uint32_t testbed_burst_count_open (const testbed_burst_t *burst);
/** testbed_count_queued() - number of requests that are queued at a sidecar */
uint64_t testbed_count_queued (const testbed_node_t *sidecar);
/**
 * testbed_burst_is_queued() - condition for testbed_wait_until(): some requests are queued, and all
 * that are neither queued nor answered were received by an engine; @context is a testbed_burst_t
 */
bool testbed_burst_is_queued (void *context);

#endif
