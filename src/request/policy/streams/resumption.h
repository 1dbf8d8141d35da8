/**
 * DOC: resumption
 *
 * Decides what becomes of a client's request that resumes a stream: at which software version it
 * goes on, or that it is refused, since an engine of another version would continue the stream with
 * events that don't fit. A pure function.
 */
#ifndef REQUEST_POLICY_STREAMS_RESUMPTION_H
#define REQUEST_POLICY_STREAMS_RESUMPTION_H

#include "request/policy/streams/version_search.h"

#include <stdbool.h>
#include <stdint.h>

/* Time in which a gateway that is asked answers, or the store, also where processor time is short;
 * less than a client waits for the next event. */
#define RESUMPTION_TIMEOUT_US (UINT64_C (250) * 1000)
/* The gateways are asked again after this time: a message may be lost, or come before the one that
 * tells of the stream. */
#define RESUMPTION_REPEAT_US (UINT64_C (50) * 1000)

typedef enum
{
  RESUMPTION_GO,    /* at @version */
  RESUMPTION_ASK,   /* ask the gateways that may know the stream, and decide again */
  RESUMPTION_WAIT,  /* decide again when an answer comes, and with each tick */
  RESUMPTION_REFUSE /* the version is not certain */
} resumption_step_t;

/**
 * struct resumption_view - what a gateway knows when it decides
 * @known: version at which the stream began, if it began or went on here, or others told of it;
 *   else 0
 * @search: what the tables and lists tell; of a stream that is not named, which version is the only
 *   one in all tables
 * @sole: the only version of the service in the registry lately, see software_versions_sole(); 0
 *   when there are several
 * @is_current: the registry is current
 * @is_trusted: no table that this gateway doesn't know is in force: the registry is current, or
 *   most gateways know that the store is out
 * @is_named: the client has named the attempt whose response began the stream
 * @is_alone: there are no other gateways
 * @started_us: when the request came
 * @asked_us: when the other gateways were asked last, 0 for never
 */
typedef struct
{
  uint64_t known;
  version_search_t search;
  uint64_t sole;
  bool is_current;
  bool is_trusted;
  bool is_named;
  bool is_alone;
  uint64_t started_us;
  uint64_t asked_us;
} resumption_view_t;

/** struct resumption - the decision; @version: with %RESUMPTION_GO; @basis: why, for the log */
typedef struct
{
  resumption_step_t step;
  uint64_t version;
  const char *basis;
} resumption_t;

resumption_t resumption_decide (const resumption_view_t *view, uint64_t now_us);

#endif
