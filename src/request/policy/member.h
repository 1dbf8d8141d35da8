/**
 * DOC: member
 *
 * The membership of the fleet as one daemon sees it: which hosts exist and which of them are
 * leaving.
 *
 * Two sources are merged. The platform's host list says which hosts exist, but it lags behind. A
 * daemon's own report, passed on by the exchange, takes precedence over the list. A router adds the
 * failures of its own requests to both (health.h). This is a pure state machine: the caller gives
 * the time and the input. Snapshots of it are immutable and reference-counted, and are sent to the
 * data task by message.
 */
#ifndef REQUEST_POLICY_MEMBER_H
#define REQUEST_POLICY_MEMBER_H

#include "base/limits.h"
#include "base/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum membership_state - in the order in which a host passes through them */
typedef enum
{
  MEM_LIVE,    /* takes new requests */
  MEM_LEAVING, /* finishes its requests and takes no new ones */
  MEM_GONE     /* is not in the list any more */
} mem_state_t;

/** struct mem_listed - one host of the platform's list */
typedef struct
{
  char name[LIM_NAME_BYTES];
  bool router; /* else a sidecar */
  char data_center[LIM_NAME_BYTES];
  char region[LIM_NAME_BYTES];
  set_address_t http;     /* takes requests */
  set_address_t exchange; /* takes datagrams of the exchange */
  mem_state_t state;
} mem_listed_t;

/**
 * struct membership_report - what a daemon says about itself
 * @host_hash: hash of the host's name
 * @incarnation: number of the daemon's start; a restart has a higher one
 * @sequence: counts the reports of one incarnation
 * @state: its state
 *
 * Of two reports the one with the higher (incarnation, sequence) is newer.
 */
typedef struct
{
  uint64_t host_hash;
  uint64_t incarnation;
  uint32_t sequence;
  mem_state_t state;
} mem_word_t;

/**
 * struct mem_host - a host in a snapshot
 * @hash: hash of @name
 * @router: whether the host is a router; else it is a sidecar
 * @http: address for requests
 * @exchange: address for datagrams of the exchange
 * @state: leaving when any source says so
 * @incarnation: the highest that was reported; 0 while none was
 * @joined_us: when the host was last listed anew; 0 for a host of the first list
 * @settled_us: from then on a returned engine is again preferred for the chats that hash to it
 *   (flap damping); 0 for a host that has not flapped
 */
typedef struct
{
  char name[LIM_NAME_BYTES];
  uint64_t hash;
  bool router;
  char data_center[LIM_NAME_BYTES];
  char region[LIM_NAME_BYTES];
  set_address_t http;
  set_address_t exchange;
  mem_state_t state;
  uint64_t incarnation;
  uint64_t joined_us;
  uint64_t settled_us;
} mem_host_t;

/**
 * struct membership_snapshot - the hosts that are live or leaving at one moment
 * @hosts: sorted by name
 * @by_hash: indices of @hosts, sorted by hash
 * @list_revision: revision of the platform's list that was applied last
 */
typedef struct
{
  gatomicrefcount refs;
  mem_host_t *hosts;
  uint32_t *by_hash;
  uint32_t host_count;
  uint64_t list_revision;
} mem_snapshot_t;

/* A host that returns is not settled for this long; each further flap doubles the time. */
#define MEM_DAMPING_MIN_US (2 * 1000 * 1000)
#define MEM_DAMPING_MAX_US (300 * 1000 * 1000)
/* Each such period of uptime removes one flap, which halves the damping. */
#define MEM_LONG_UPTIME_US (UINT64_C (600) * 1000 * 1000)
/* How long the last report and the flaps of a host are kept after it has left the list. */
#define MEM_REMEMBERED_US (UINT64_C (3600) * 1000 * 1000)

typedef struct mem mem_t;

mem_t *mem_new (void);
void mem_free (mem_t *mem);
/** mem_list_full() - applies a complete host list; hosts that are not in it are gone */
void mem_list_full (
    mem_t *mem, uint64_t now_us, const mem_listed_t *listed, uint32_t count, uint64_t revision);
/** mem_list_delta() - applies the changes since the last revision; %MEM_GONE removes a host */
void mem_list_delta (
    mem_t *mem, uint64_t now_us, const mem_listed_t *listed, uint32_t count, uint64_t revision);
/**
 * mem_hear() - applies a daemon's report, received from itself or passed on by a peer
 *
 * A report that is not newer than the last one of that host is ignored. So is one of a host that is
 * neither listed nor remembered, since a report contains no address.
 *
 * Return: whether it changed the host's state or incarnation, and so should be passed on
 */
bool mem_hear (mem_t *mem, uint64_t now_us, const mem_word_t *report);
/** mem_word() - gets the last report of a host. Return: false when there was none */
bool mem_word (const mem_t *mem, uint64_t host_hash, mem_word_t *report);
/** enum membership_leave - what is known about a host's leaving, to be told to that host */
typedef enum
{
  MEM_LEAVE_NONE,
  MEM_LEAVE_INCARNATION, /* the list or a report says that this incarnation is leaving */
  MEM_LEAVE_LISTED       /* the list says leaving since before the first report */
} mem_leave_t;
/** mem_leave() - what to tell the host's incarnation @incarnation about its leaving */
mem_leave_t mem_leave (const mem_t *mem, uint64_t host_hash, uint64_t incarnation);
/** mem_awaits_leave() - whether the list says leaving and the host's report doesn't yet */
bool mem_awaits_leave (const mem_t *mem, uint64_t host_hash);
/** mem_changed() - whether the next snapshot would differ from the last one taken */
bool mem_changed (const mem_t *mem);
/** mem_urgent() - whether it would differ in more than incarnations: in a host's state, address or
 * damping */
bool mem_urgent (const mem_t *mem);
/** mem_snapshot() - Return: a reference to the current snapshot, for mem_snapshot_unref() */
mem_snapshot_t *mem_snapshot (mem_t *mem);
mem_snapshot_t *mem_snapshot_ref (mem_snapshot_t *snapshot);
void mem_snapshot_unref (mem_snapshot_t *snapshot);
/** mem_find() - Return: the host of that name, or NULL */
const mem_host_t *mem_find (const mem_snapshot_t *snapshot, const char *name);
/** mem_find_hash() - Return: the host whose name has that hash, or NULL */
const mem_host_t *mem_find_hash (const mem_snapshot_t *snapshot, uint64_t hash);

#endif
