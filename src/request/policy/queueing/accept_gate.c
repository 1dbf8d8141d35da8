#include "request/policy/queueing/accept_gate.h"

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

bool
accept_gate_sheds (accept_gate_t *gate, uint64_t now_us, bool waiting)
{
  bool sheds;

  if (!waiting || gate->was_empty || gate->waiting_us == 0)
    gate->waiting_us = waiting ? now_us : 0;
  gate->was_empty = false;
  sheds = waiting && now_us >= gate->waiting_us + ACCEPT_GATE_WAIT_US;
  if (sheds)
    gate->waiting_us = 0;
  return sheds;
}
