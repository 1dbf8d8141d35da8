/**
 * DOC: room_engine
 *
 * What a gateway has learned of one engine of a plain service from the engine's responses: its
 * load, its speed, and how much slower it is when all its slots are taken. From these it estimates
 * when a request sent now would end there. A state machine without I/O; the caller passes the time.
 */
#ifndef REQUEST_POLICY_ROOM_ROOM_ENGINE_H
#define REQUEST_POLICY_ROOM_ROOM_ENGINE_H

#include <stdint.h>

/* Responses over which speeds are smoothed: durations of single requests differ by a factor of
 * three. */
#define ROOM_ENGINE_DURATION_SMOOTHING 16
/* Responses of usual duration that are assumed before the first. */
#define ROOM_ENGINE_DURATION_ASSUMED 3
#define ROOM_ENGINE_LOAD_SMOOTHING 4 /* reports over which the usual load is smoothed */
/* A longer duration says more about the request than about the engine. */
#define ROOM_ENGINE_DURATION_MAX_MILLI 4000

/* One in so many slots of an engine that slows down with its last slot stays free on average. */
#define ROOM_ENGINE_CROWDED_DIVISOR 2

/**
 * struct room_engine - knowledge of one engine; initialized with zeros
 * @reports: number of load reports, up to the smoothing
 * @running: requests in its slots at the last report
 * @waiting: requests in its queue at the last report
 * @slots: as last reported; 0 before
 * @partly_samples: durations in @partly_milli
 * @fully_samples: durations in @fully_milli
 * @others_milli: usual number of requests of other gateways there, in thousandths
 * @partly_milli: duration of work while slots are free, in thousandths of the usual duration of the
 *   service; 0 when unknown
 * @fully_milli: the same while all slots are taken, without the time in its queue
 */
typedef struct
{
  uint32_t reports;
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t partly_samples;
  uint32_t fully_samples;
  uint32_t others_milli;
  uint32_t partly_milli;
  uint32_t fully_milli;
} room_engine_t;

/** struct room_engine_report - a load report; @others: requests of other gateways of @running and
 * @waiting */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t others;
} room_engine_report_t;

void room_engine_note_report (room_engine_t *room, const room_engine_report_t *report);
/** room_engine_note_duration() - adds a response that took @ratio_milli thousandths of the usual
 * time, and came with the last report */
void room_engine_note_duration (room_engine_t *room, uint32_t ratio_milli);
/** room_engine_expect_milli() - Return: expected time from sending a request to its response, in
 * thousandths of the usual duration, where @load_milli thousandths of a request are there before */
uint64_t room_engine_expect_milli (const room_engine_t *room, uint64_t load_milli, uint32_t slots);
/** room_engine_attraction() - Return: relative frequency with which to draw the engine at its usual
 * load: its slots, divided by the square of the time that a request takes there, so that an engine
 * whose queue grows gets less */
uint64_t room_engine_attraction (const room_engine_t *room, uint64_t load_milli, uint32_t slots);

#endif
