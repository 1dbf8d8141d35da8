#include "request/policy/accept_gate.h"

#define MAX(a, b) ((a) > (b) ? (a) : (b))

/* Shortly after an overload, a single late tick is the next one. */
static bool
is_overloaded (const accept_gate_t *gate, const accept_gate_input_t *input)
{
  uint32_t late_ticks = gate->quota > 0 ? 1 : ACCEPT_GATE_LATE_TICKS;

  return gate->late_ticks >= late_ticks ||
         (input->connection_limit > 0 && input->connections >= input->connection_limit);
}

static bool
has_room (const accept_gate_input_t *input)
{
  return input->late_us <= ACCEPT_GATE_PROMPT_US &&
         (input->connection_limit == 0 ||
          (uint64_t)input->connections * 1000 <
              (uint64_t)input->connection_limit * ACCEPT_GATE_ROOM_MILLI);
}

static void
close_gate (accept_gate_t *gate)
{
  gate->closed = true;
  gate->quota =
      gate->quota > 0 ? MAX (gate->quota / 2, ACCEPT_GATE_QUOTA_MIN) : ACCEPT_GATE_QUOTA_START;
}

static void
raise_quota (accept_gate_t *gate, bool quota_used)
{
  if (gate->quota == 0)
    return;
  gate->quota = quota_used ? gate->quota + 1 : gate->quota * 2;
  if (gate->quota > ACCEPT_GATE_QUOTA_MAX)
    gate->quota = 0;
}

bool
accept_gate_update (accept_gate_t *gate, const accept_gate_input_t *input)
{
  bool was_closed = gate->closed;

  gate->late_ticks = input->late_us >= ACCEPT_GATE_LATE_US ? gate->late_ticks + 1 : 0;
  if (gate->closed)
    gate->closed = !has_room (input);
  else if (is_overloaded (gate, input))
    close_gate (gate);
  else if (has_room (input))
    raise_quota (gate, input->quota_used);
  return gate->closed != was_closed;
}
