/**
 * DOC: resumption
 *
 * Decides what becomes of a client's request that resumes a stream: at which software version it
 * goes on, whether other gateways are asked for that, or that it is refused, since an engine of
 * another version would continue the stream with events that don't fit. A pure function.
 */
#ifndef REQUEST_POLICY_RESUMPTION_H
#define REQUEST_POLICY_RESUMPTION_H

#include <stdbool.h>
#include <stdint.h>

/* Time in which a gateway that is asked answers, also where it is short of processor time; less
 * than a client waits for the next event. */
#define RESUMPTION_TIMEOUT_US (UINT64_C (250) * 1000)
/* The gateways are asked again after this time: a message may be lost, or come before the one that
 * tells of the stream. */
#define RESUMPTION_REPEAT_US (UINT64_C (50) * 1000)

typedef enum
{
  RESUMPTION_GO,    /* at @version */
  RESUMPTION_ASK,   /* ask the gateways that may know the stream, and decide again */
  RESUMPTION_WAIT,  /* decide again when an answer comes, and with each tick */
  RESUMPTION_REFUSE /* nobody knows the version */
} resumption_step_t;

/**
 * struct resumption_view - what a gateway knows when it decides
 * @known: version at which the stream began, 0 when it is unknown
 * @sole: the only version of the service in the registry lately, see software_versions_sole(); 0
 * when there are several
 * @is_current: the registry is current
 * @has_watched: this gateway has read it for %SOFTWARE_VERSIONS_LIFETIME_US, or since the first
 * start of all gateways
 * @is_named: the client has named the attempt whose response began the stream
 * @is_alone: there are no other gateways
 * @started_us: when the request came
 * @asked_us: when the other gateways were asked last, 0 for never
 * @peer_sole: a gateway that doesn't know the stream either, but has watched a current registry for
 *   long enough, states that this is the only version; 0 when none does. It counts if this gateway
 *   knows no other one either
 * @peer_has_watched: some gateway that doesn't know the stream has watched for long enough
 */
typedef struct
{
  uint64_t known;
  uint64_t sole;
  bool is_current;
  bool has_watched;
  bool is_named;
  bool is_alone;
  uint64_t started_us;
  uint64_t asked_us;
  uint64_t peer_sole;
  bool peer_has_watched;
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
