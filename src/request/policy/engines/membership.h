/**
 * DOC: membership
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
#ifndef REQUEST_POLICY_ENGINES_MEMBERSHIP_H
#define REQUEST_POLICY_ENGINES_MEMBERSHIP_H

#include "base/limits.h"
#include "base/settings.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum membership_state - in the order in which a host passes through them */
typedef enum
{
  MEMBERSHIP_LIVE,    /* takes new requests */
  MEMBERSHIP_LEAVING, /* finishes its requests and takes no new ones */
  MEMBERSHIP_GONE     /* is not in the list any more */
} membership_state_t;

/** struct membership_list_entry - one host of the platform's list */
typedef struct
{
  char name[LIMIT_NAME_BYTES];
  bool is_router; /* else a sidecar */
  char data_center[LIMIT_NAME_BYTES];
  char region[LIMIT_NAME_BYTES];
  address_t http;     /* takes requests */
  address_t exchange; /* takes datagrams of the exchange */
  membership_state_t state;
} membership_list_entry_t;

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
  membership_state_t state;
} membership_report_t;

/**
 * struct membership_host - a host in a snapshot
 * @hash: hash of @name
 * @is_router: whether the host is a router; else it is a sidecar
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
  char name[LIMIT_NAME_BYTES];
  uint64_t hash;
  bool is_router;
  char data_center[LIMIT_NAME_BYTES];
  char region[LIMIT_NAME_BYTES];
  address_t http;
  address_t exchange;
  membership_state_t state;
  uint64_t incarnation;
  uint64_t joined_us;
  uint64_t settled_us;
} membership_host_t;

/**
 * struct membership_snapshot - the hosts that are live or leaving at one moment
 * @hosts: sorted by name
 * @by_hash: indices of @hosts, sorted by hash
 * @list_revision: revision of the platform's list that was applied last
 */
typedef struct
{
  gatomicrefcount refs;
  membership_host_t *hosts;
  uint32_t *by_hash;
  uint32_t host_count;
  uint64_t list_revision;
} membership_snapshot_t;

/* A host that returns is not settled for this long; each further flap doubles the time. */
#define MEMBERSHIP_DAMPING_MIN_US (2 * 1000 * 1000)
#define MEMBERSHIP_DAMPING_MAX_US (300 * 1000 * 1000)
/* Each such period of uptime removes one flap, which halves the damping. */
#define MEMBERSHIP_LONG_UPTIME_US (UINT64_C (600) * 1000 * 1000)
/* How long the last report and the flaps of a host are kept after it has left the list. */
#define MEMBERSHIP_RETENTION_US (UINT64_C (3600) * 1000 * 1000)

typedef struct membership membership_t;

membership_t *membership_new (void);
void membership_free (membership_t *membership);
/** membership_apply_list() - applies a complete host list; hosts that are not in it are gone */
void membership_apply_list (membership_t *membership,
                            uint64_t now_us,
                            const membership_list_entry_t *listed,
                            uint32_t count,
                            uint64_t revision);
/** membership_apply_list_changes() - applies the changes since the last revision; %MEMBERSHIP_GONE
 * removes a host */
void membership_apply_list_changes (membership_t *membership,
                                    uint64_t now_us,
                                    const membership_list_entry_t *listed,
                                    uint32_t count,
                                    uint64_t revision);
/**
 * membership_apply_report() - applies a daemon's report, received from itself or passed on by a
 * peer
 *
 * A report that is not newer than the last one of that host is ignored. So is one of a host that is
 * neither listed nor remembered, since a report contains no address.
 *
 * Return: whether it changed the host's state or incarnation, and so should be passed on
 */
bool membership_apply_report (membership_t *membership,
                              uint64_t now_us,
                              const membership_report_t *report);
/** membership_last_report() - gets the last report of a host. Return: false when there was none */
bool membership_last_report (const membership_t *membership,
                             uint64_t host_hash,
                             membership_report_t *report);
/** enum membership_leave - what is known about a host's leaving, to be told to that host */
typedef enum
{
  MEMBERSHIP_LEAVE_NONE,
  MEMBERSHIP_LEAVE_INCARNATION, /* the list or a report says that this incarnation is leaving */
  MEMBERSHIP_LEAVE_LISTED       /* the list says leaving since before the first report */
} membership_leave_t;
/** membership_find_leave() - what to tell the host's incarnation @incarnation about its leaving */
membership_leave_t
membership_find_leave (const membership_t *membership, uint64_t host_hash, uint64_t incarnation);
/** membership_leave_unconfirmed() - whether the list says leaving and the host's report doesn't yet
 */
bool membership_leave_unconfirmed (const membership_t *membership, uint64_t host_hash);
/** membership_has_changed() - whether the next snapshot would differ from the last one taken */
bool membership_has_changed (const membership_t *membership);
/** membership_has_urgent_change() - whether it would differ in more than incarnations: in a host's
 * state, address or damping */
bool membership_has_urgent_change (const membership_t *membership);
/** membership_take_snapshot() - Return: a reference to the current snapshot, for
 * membership_snapshot_unref() */
membership_snapshot_t *membership_take_snapshot (membership_t *membership);
membership_snapshot_t *membership_snapshot_ref (membership_snapshot_t *snapshot);
void membership_snapshot_unref (membership_snapshot_t *snapshot);
/** membership_find() - Return: the host of that name, or NULL */
const membership_host_t *membership_find (const membership_snapshot_t *snapshot, const char *name);
/** membership_find_by_hash() - Return: the host whose name has that hash, or NULL */
const membership_host_t *membership_find_by_hash (const membership_snapshot_t *snapshot,
                                                  uint64_t hash);

#endif
