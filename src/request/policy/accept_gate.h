/**
 * DOC: accept_gate
 *
 * Decides whether a gateway takes new connections. One that gets more of them than it can serve
 * would read them all and answer each too late. A connection that is refused unread meets another
 * gateway at its next try, while kept connections are served on. The gateway stays ready: were it
 * taken out, all new connections would go to the next one, which can't serve them either.
 *
 * A pure state machine, fed at each tick of the event loop.
 */
#ifndef REQUEST_POLICY_ACCEPT_GATE_H
#define REQUEST_POLICY_ACCEPT_GATE_H

#include <stdbool.h>
#include <stdint.h>

/* The event loop is overloaded when this many ticks in a row are this late; a single one is late
 * after a freeze of the host. */
#define ACCEPT_GATE_LATE_US (UINT64_C (150) * 1000)
#define ACCEPT_GATE_LATE_TICKS 2
/* It is not any more when a tick is no later than this. */
#define ACCEPT_GATE_PROMPT_US (UINT64_C (100) * 1000)
/* Connections from one tick to the next that are taken at first after an overload; one more after
 * each prompt tick in which they all came, twice as many after one in which fewer came, half as
 * many after the next overload. */
#define ACCEPT_GATE_QUOTA_START 8
#define ACCEPT_GATE_QUOTA_MIN 2
#define ACCEPT_GATE_QUOTA_MAX 1024 /* above it there is none */
/* Share of the connection limit, in thousandths, below which connections are taken again */
#define ACCEPT_GATE_ROOM_MILLI 900

/**
 * struct accept_gate - zeroed at first
 * @late_ticks: in a row
 * @quota: connections that are taken until the next tick, 0 for any number
 */
typedef struct
{
  bool closed;
  uint32_t late_ticks;
  uint32_t quota;
} accept_gate_t;

/**
 * struct accept_gate_input - the state of the gateway at a tick
 * @late_us: by how much the tick is late
 * @connections: open connections of clients
 * @connection_limit: 0 for none
 * @quota_used: as many connections came as were to be taken
 */
typedef struct
{
  uint64_t late_us;
  uint32_t connections;
  uint32_t connection_limit;
  bool quota_used;
} accept_gate_input_t;

/** accept_gate_update() - Return: whether @closed has changed */
bool accept_gate_update (accept_gate_t *gate, const accept_gate_input_t *input);

#endif
