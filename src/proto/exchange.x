/*
 * The exchange between daemons: ONC RPC version 2 in single UDP datagrams.
 * Every string and array is bounded, so that no datagram can ask for more memory than it brings.
 */
const XCH_SAMPLES = 8;
const XCH_WORDS = 4;
const XCH_MARKS = 2;
const XCH_ORIGINS = 24;
const XCH_QUESTIONS = 16;
const XCH_PARTS = 32;

/*
 * Between gateways "service_hash" is 0 in a sample of an engine. In one of a gateway "engine_hash" is that of its
 * name, and "load" is the number of requests that it has at the engines of the service.
 */
struct xch_sample {
  unsigned hyper engine_hash;
  unsigned hyper service_hash;
  unsigned int load;
  unsigned int waiting;
  unsigned int cost;
  unsigned int age_ms;
};

/*
 * Of a gateway's own host: "incarnation" is the era of its offset in the stream "state" (0 routing
 * rules, 1 engines, 2 routers). Streams without a word of their own are in the era of the first.
 * Between gateways, of a mark: "host_hash" is its fingerprint, "state" 16, and "incarnation" the time
 * in ms since the request was sent to the last of the mark's engines. Of a mark of a part, "sequence" is the
 * low half of the fingerprint of that request.
 */
struct xch_word {
  unsigned hyper host_hash;
  unsigned hyper incarnation;
  unsigned int sequence;
  unsigned int state;
};

/* Between gateways a mark of three engines takes two entries, one after the other; in that of a part of
 * prompts the top bit of "age_ms" is set, and the next one if requests without it are answered. */
struct xch_mark {
  unsigned hyper fingerprint;
  unsigned hyper engines[2];
  unsigned int age_ms;
};

/* "routers_offset" of a router or sidecar is the era of the log, as it has no stream of routers. */
struct xch_message {
  xch_word sender;
  unsigned hyper manifest_version;
  unsigned hyper manifest_offset;
  unsigned hyper list_revision;
  unsigned hyper routers_offset;
  unsigned int store_age_ms;
  xch_sample samples<XCH_SAMPLES>;
  xch_word words<XCH_WORDS>;
  xch_mark marks<XCH_MARKS>;
};

/* A stream and the software version that began it, for "ttl_ms". */
struct xch_origin {
  unsigned hyper stream;
  unsigned hyper software_version;
  unsigned int ttl_ms;
};

struct xch_question {
  unsigned hyper stream;
  unsigned hyper service_hash;
};

/* The answer to a question about a stream that is not known. "sole_version" and "has_watched" are 0; gateways of
 * before stated there whether the service had one version only. */
struct xch_unknown {
  unsigned hyper stream;
  unsigned hyper sole_version;
  unsigned int has_watched;
};

/* Gets no reply. Questions are answered by a call of the same kind, to the address in the registry. */
struct xch_origins_message {
  unsigned hyper sender_hash;
  xch_origin origins<XCH_ORIGINS>;
  xch_question questions<XCH_QUESTIONS>;
  xch_unknown unknown<XCH_QUESTIONS>;
};

/* A shared part of prompts and the hash of an engine, which was known "age_ms" ago to have it in its cache. */
struct xch_part {
  unsigned hyper part;
  unsigned hyper engine_hash;
  unsigned int age_ms;
};

/* Gets no reply. A gateway passes on what is new to it. */
struct xch_parts_message {
  unsigned hyper sender_hash;
  xch_part parts<XCH_PARTS>;
};

program MEDLARPLANK_EXCHANGE {
  version MEDLARPLANK_EXCHANGE_V1 {
    xch_message XCH_SWAP(xch_message) = 1;
    void XCH_TELL_ORIGINS(xch_origins_message) = 2;
    void XCH_TELL_PARTS(xch_parts_message) = 3;
  } = 1;
} = 0x20004d50;
