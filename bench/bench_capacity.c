/**
 * DOC: bench_capacity
 *
 * Processor time and memory of each kind of state and message, at growing sizes up to the design
 * limit; docs/CAPACITY.md takes its slopes from here. Prints tab-separated lines "what, size, unit,
 * value". Processor time is that of the thread, so that other load on the machine has little
 * effect.
 */
#include "connection/datagram.h"
#include "base/clock.h"
#include "request/policy/claims/claim.h"
#include "request/policy/placement/chat_directory.h"
#include "request/hop.h"
#include "request/policy/load/load_samples.h"
#include "request/policy/engines/membership.h"
#include "request/policy/placement/rendezvous.h"
#include "version/manifest.h"
#include "version/replay.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* The size of fleet to design for. */
#define FULL_ENGINES 3700
#define FULL_ACCOUNTS 1700
#define FULL_HOSTS (3700 + 880)
#define SERVICE_ENGINES 1234   /* of the largest service */
#define DIRECTORY_CHATS 5200   /* chats in the directory of one sidecar */
#define IP_UDP_HEADER_BYTES 28 /* added to each datagram */

static const char fleet_key[] = "bench-fleet-key-0123456789";

static uint64_t
cpu_ns (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
  return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

static uint64_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

static void
print_row (const char *what, uint32_t size, const char *unit, double value)
{
  printf ("%s\t%u\t%s\t%.1f\n", what, size, unit, value);
}

/* A manifest of @account_count accounts and @engine_count engines over three services. */
static json_t *
make_manifest (uint32_t account_count, uint32_t engine_count)
{
  json_t *accounts = json_object ();
  for (uint32_t i = 0; i < account_count; i++)
    {
      char name[32];
      char digest[65];
      snprintf (name, sizeof name, "account-%u", i);
      snprintf (digest, sizeof digest, "%064x", i + 1);
      json_object_set_new (accounts, name,
                           json_pack ("{s:s,s:i}", "key_sha256", digest, "weight", 1000));
    }
  json_t *services = json_object ();
  json_t *routes = json_array ();
  for (uint32_t s = 0; s < 3; s++)
    {
      char service[32];
      char model[32];
      snprintf (service, sizeof service, "service-%u", s);
      snprintf (model, sizeof model, "model-%u", s);
      json_t *engines = json_array ();
      for (uint32_t i = s; i < engine_count; i += 3)
        {
          char name[32];
          snprintf (name, sizeof name, "dc-%u-engine-%u", i % 12, i);
          json_array_append_new (engines, json_string (name));
        }
      json_object_set_new (services, service,
                           json_pack ("{s:s,s:o}", "kind", "model", "engines", engines));
      json_array_append_new (routes,
                             json_pack ("{s:s,s:s,s:s,s:s,s:s,s:b}", "method", "POST", "path",
                                        "/v1/chat/completions", "model", model, "service", service,
                                        "class", "chat", "idempotent", 1));
    }
  json_t *classes = json_pack ("{s:{s:i,s:i,s:i}}", "chat", "priority", 1, "deadline_ms", 30000,
                               "expected_tokens", 500);
  return json_pack ("{s:o,s:o,s:o,s:o}", "client_accounts", accounts, "classes", classes,
                    "services", services, "routes", routes);
}

static void
bench_manifest (uint32_t account_count, uint32_t engine_count)
{
  json_t *json = make_manifest (account_count, engine_count);
  char *text = json_dumps (json, JSON_COMPACT);
  size_t text_bytes = strlen (text);
  json_decref (json);
  uint64_t heap = heap_bytes ();
  uint64_t start = cpu_ns ();
  GError *error = NULL;
  manifest_t *manifest = manifest_parse (text, text_bytes, &error);
  uint64_t parse_ns = cpu_ns () - start;
  if (manifest == NULL)
    {
      fprintf (stderr, "bench_capacity: %s\n", error->message);
      exit (1);
    }
  uint32_t size = account_count + engine_count;
  print_row ("manifest document (accounts + engines)", size, "bytes", (double)text_bytes);
  print_row ("manifest in memory", size, "bytes", (double)(heap_bytes () - heap));
  print_row ("manifest parse and check", size, "us", (double)parse_ns / 1000);

  json_t *patch = json_pack ("{s:{s:{s:i}}}", "client_accounts", "account-1", "weight", 2000);
  start = cpu_ns ();
  manifest_t *patched = manifest_patch (manifest, patch, &error);
  print_row ("manifest patch of one account", size, "us", (double)(cpu_ns () - start) / 1000);
  char *record = replay_format_publish ("0123456789abcdef", 1, "operator", NULL, patch);
  print_row ("manifest patch record", size, "bytes", (double)strlen (record));
  g_free (record);
  json_decref (patch);
  manifest_unref (patched);
  manifest_unref (manifest);
  free (text);
}

static membership_list_entry_t *
make_list (uint32_t host_count)
{
  membership_list_entry_t *listed = g_new0 (membership_list_entry_t, host_count);
  for (uint32_t i = 0; i < host_count; i++)
    {
      snprintf (listed[i].name, sizeof listed[i].name, "dc-%u-host-%u", i % 12, i);
      snprintf (listed[i].data_center, sizeof listed[i].data_center, "dc-%u", i % 12);
      snprintf (listed[i].region, sizeof listed[i].region, "region-%u", i % 4);
      snprintf (listed[i].http.ip, sizeof listed[i].http.ip, "10.%u.%u.%u", i % 12, i / 250,
                i % 250);
      listed[i].http.port = 7080;
      listed[i].exchange = listed[i].http;
      listed[i].exchange.port = 7081;
      listed[i].is_router = i < host_count / 5;
      listed[i].state = MEMBERSHIP_LIVE;
    }
  return listed;
}

static void
bench_membership (uint32_t host_count)
{
  membership_list_entry_t *listed = make_list (host_count);
  uint64_t heap = heap_bytes ();
  membership_t *membership = membership_new ();
  uint64_t start = cpu_ns ();
  membership_apply_list (membership, CLOCK_US_PER_S, listed, host_count, 1);
  print_row ("host list, whole", host_count, "us", (double)(cpu_ns () - start) / 1000);
  start = cpu_ns ();
  membership_snapshot_t *first = membership_take_snapshot (membership);
  print_row ("host snapshot", host_count, "us", (double)(cpu_ns () - start) / 1000);
  print_row ("hosts and one snapshot in memory", host_count, "bytes",
             (double)(heap_bytes () - heap));

  start = cpu_ns ();
  listed[0].state = MEMBERSHIP_LEAVING;
  membership_apply_list_changes (membership, 2 * CLOCK_US_PER_S, listed, 1, 2);
  membership_snapshot_t *second = membership_take_snapshot (membership);
  print_row ("one change with its snapshot", host_count, "us", (double)(cpu_ns () - start) / 1000);

  const uint32_t rounds = 100000;
  start = cpu_ns ();
  for (uint32_t i = 0; i < rounds; i++)
    {
      membership_report_t report = { rendezvous_hash_name (listed[i % host_count].name), 1, i,
                                     MEMBERSHIP_LIVE };
      membership_apply_report (membership, 3 * CLOCK_US_PER_S, &report);
    }
  print_row ("hear a host's word", host_count, "ns", (double)(cpu_ns () - start) / rounds);
  membership_snapshot_unref (first);
  membership_snapshot_unref (second);
  membership_free (membership);
  g_free (listed);
}

static void
bench_exchange (void)
{
  xch_sample samples[XCH_SAMPLES] = { 0 };
  xch_word words[XCH_WORDS] = { 0 };
  xch_mark marks[XCH_MARKS] = { 0 };
  xch_message message = { 0 };
  message.samples.samples_len = XCH_SAMPLES;
  message.samples.samples_val = samples;
  char datagram[LIMIT_DATAGRAM_BYTES];
  size_t plain_bytes = datagram_encode (datagram, sizeof datagram, fleet_key, 1, false, &message);
  print_row ("exchange datagram, eight samples", XCH_SAMPLES, "bytes",
             (double)plain_bytes + IP_UDP_HEADER_BYTES);
  message.words.words_len = XCH_WORDS;
  message.words.words_val = words;
  message.marks.marks_len = XCH_MARKS;
  message.marks.marks_val = marks;
  size_t full_bytes = datagram_encode (datagram, sizeof datagram, fleet_key, 1, false, &message);
  print_row ("exchange datagram, all arrays full", XCH_SAMPLES, "bytes",
             (double)full_bytes + IP_UDP_HEADER_BYTES);

  const uint32_t rounds = 20000;
  uint64_t start = cpu_ns ();
  for (uint32_t i = 0; i < rounds; i++)
    datagram_encode (datagram, sizeof datagram, fleet_key, i, false, &message);
  print_row ("exchange encode and seal", XCH_SAMPLES, "ns", (double)(cpu_ns () - start) / rounds);
  start = cpu_ns ();
  for (uint32_t i = 0; i < rounds; i++)
    {
      xch_message decoded = { 0 };
      uint32_t xid;
      bool is_reply;
      if (datagram_decode (datagram, full_bytes, fleet_key, &xid, &is_reply, &decoded) !=
          DATAGRAM_OK)
        {
          fprintf (stderr, "bench_capacity: a datagram of its own does not decode\n");
          exit (1);
        }
      datagram_free_message (&decoded);
    }
  print_row ("exchange check and decode", XCH_SAMPLES, "ns", (double)(cpu_ns () - start) / rounds);
}

static void
bench_mean (uint32_t engine_count)
{
  load_samples_t table;
  load_samples_init (&table, 1);
  const uint32_t rounds = 100000;
  uint64_t start = cpu_ns ();
  for (uint32_t i = 0; i < rounds; i++)
    {
      load_sample_t sample = { .engine_hash = 1 + i % engine_count,
                               .load = i % 20,
                               .taken_us = CLOCK_US_PER_S + i };
      load_samples_add (&table, &sample);
    }
  print_row ("keep a load sample", engine_count, "ns", (double)(cpu_ns () - start) / rounds);
  start = cpu_ns ();
  uint64_t sum = 0;
  for (uint32_t i = 0; i < rounds; i++)
    sum +=
        load_samples_estimate_mean (&table, CLOCK_US_PER_S + rounds, NULL, engine_count).mean_milli;
  print_row ("estimate the mean", engine_count, "ns", (double)(cpu_ns () - start) / rounds);
  if (sum == 0)
    fprintf (stderr, "bench_capacity: no mean\n");
  print_row ("samples of a service in memory", engine_count, "bytes", sizeof table);
}

static void
bench_directory (uint32_t chat_count)
{
  uint64_t *chats = g_new (uint64_t, chat_count);
  for (uint32_t i = 0; i < chat_count; i++)
    {
      char id[32];
      snprintf (id, sizeof id, "chat-%u", i);
      chats[i] = rendezvous_hash_chat ("account", id);
    }
  uint64_t heap = heap_bytes ();
  chat_directory_t *dir = chat_directory_new (LIMIT_DIRECTORY_ENTRIES);
  uint64_t start = cpu_ns ();
  for (uint32_t i = 0; i < chat_count; i++)
    chat_directory_put (dir, i, chats[i], i + 1);
  print_row ("directory put", chat_count, "ns", (double)(cpu_ns () - start) / chat_count);
  start = cpu_ns ();
  uint32_t found = 0;
  for (uint32_t i = 0; i < chat_count; i++)
    {
      chat_directory_entry_t entry;
      found += chat_directory_get (dir, chat_count, UINT64_MAX, chats[i], &entry);
    }
  print_row ("directory get", chat_count, "ns", (double)(cpu_ns () - start) / chat_count);
  print_row ("directory entries still found", chat_count, "count", found);
  print_row ("directory in memory", chat_count, "bytes", (double)(heap_bytes () - heap));
  chat_directory_free (dir);
  g_free (chats);
}

static void
bench_claims (uint32_t key_count)
{
  uint64_t heap = heap_bytes ();
  claim_stream_t *claim_stream = claim_new ((uint64_t)86400 * CLOCK_US_PER_S);
  claim_set_first (claim_stream, (position_t){ 0 });
  const uint64_t wall_ms = 1800000000000u;
  uint64_t record_bytes = 0;
  uint64_t longest_ns = 0;
  uint64_t start = cpu_ns ();
  uint64_t previous_ns = start;
  for (uint32_t i = 0; i < key_count; i++)
    {
      char record[256];
      int length = snprintf (record, sizeof record,
                             "[{\"c\":\"%032x\",\"k\":\"%032x\",\"b\":\"%016x\",\"t\":%llu}]",
                             i + 1, i + 1, i, (unsigned long long)wall_ms);
      record_bytes += (uint64_t)length;
      claim_apply_record (claim_stream, CLOCK_US_PER_S, wall_ms, (position_t){ .offset = i },
                          record, (size_t)length);
      uint64_t now_ns = cpu_ns ();
      longest_ns = MAX (longest_ns, now_ns - previous_ns);
      previous_ns = now_ns;
    }
  print_row ("claim read back", key_count, "ns", (double)(previous_ns - start) / key_count);
  print_row ("longest of them", key_count, "ns", (double)longest_ns);
  print_row ("claim record", key_count, "bytes", (double)record_bytes / key_count);
  print_row ("claim keys kept", key_count, "count", claim_key_count (claim_stream));
  print_row ("claims in memory", key_count, "bytes", (double)(heap_bytes () - heap));
  claim_free (claim_stream);
}

static void
bench_placement (uint32_t engine_count)
{
  rendezvous_engine_t *engines = g_new0 (rendezvous_engine_t, engine_count);
  for (uint32_t i = 0; i < engine_count; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "dc-%u-engine-%u", i % 12, i);
      engines[i] = (rendezvous_engine_t){ rendezvous_hash_name (name), i, 1 };
    }
  const uint32_t rounds = 2000;
  uint32_t out[8];
  uint64_t start = cpu_ns ();
  for (uint32_t i = 0; i < rounds; i++)
    rendezvous_rank (engines, engine_count, 7, i, out, 8);
  print_row ("rank eight candidates", engine_count, "ns", (double)(cpu_ns () - start) / rounds);
  print_row ("candidates in memory", engine_count, "bytes", (double)engine_count * sizeof *engines);
  g_free (engines);
}

static void
bench_hop (void)
{
  hop_t hop = {
    .attempt = { 1, 2 }, .service = "service-1", .account = "account-1", .class_name = "chat"
  };
  hop_header_t headers[HOP_HEADER_COUNT];
  const uint32_t rounds = 20000;
  uint64_t start = cpu_ns ();
  for (uint32_t i = 0; i < rounds; i++)
    hop_write (&hop, fleet_key, headers);
  print_row ("write and seal hop headers", 1, "ns", (double)(cpu_ns () - start) / rounds);
}

int
main (void)
{
  printf ("what\tsize\tunit\tvalue\n");
  bench_manifest (10, 15);
  bench_manifest (170, 370);
  bench_manifest (FULL_ACCOUNTS, 370);
  bench_manifest (170, FULL_ENGINES);
  bench_manifest (FULL_ACCOUNTS, FULL_ENGINES);
  bench_membership (20);
  bench_membership (458);
  bench_membership (FULL_HOSTS);
  bench_exchange ();
  bench_mean (12);
  bench_mean (SERVICE_ENGINES);
  bench_directory (DIRECTORY_CHATS / 10);
  bench_directory (DIRECTORY_CHATS);
  bench_claims (1000);
  bench_claims (100000);
  bench_claims (1000000);
  bench_placement (15);
  bench_placement (150);
  bench_placement (SERVICE_ENGINES);
  bench_placement (FULL_ENGINES);
  bench_hop ();
  return 0;
}
