#include "request/policy/queueing/accept_gate.h"

#include <glib.h>

bool
accept_gate_is_open (const accept_gate_t *gate)
{
  return gate->taken < ACCEPT_GATE_BATCH;
}

void
accept_gate_note_taken (accept_gate_t *gate)
{
  gate->taken++;
}

void
accept_gate_note_idle (accept_gate_t *gate, bool waiting)
{
  gate->taken = 0;
  gate->was_empty = gate->was_empty || !waiting;
}

void
accept_gate_note_held_up (accept_gate_t *gate)
{
  gate->ticked_us = 0;
}

bool
accept_gate_sheds (accept_gate_t *gate, uint64_t now_us, bool waiting)
{
  bool sheds;

  if (!waiting || gate->was_empty || gate->ticked_us == 0)
    gate->waited_us = 0;
  else
    gate->waited_us += MIN (now_us - gate->ticked_us, ACCEPT_GATE_TICK_MAX_US);
  gate->was_empty = false;
  gate->ticked_us = waiting ? now_us : 0;
  sheds = waiting && gate->waited_us >= ACCEPT_GATE_WAIT_US;
  if (sheds)
    gate->ticked_us = 0;
  return sheds;
}
