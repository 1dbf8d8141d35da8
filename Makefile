# Everything is built below build/; SAN=1 builds with the sanitizers below build-san/.
PKGS    := libevent libevent_pthreads libtirpc glib-2.0 jansson libxxhash
CC      := gcc
OUT     := $(if $(SAN),build-san,build)
comma   := ,
SANFLAGS := $(if $(SAN),-fsanitize=address$(comma)undefined -fno-sanitize-recover=undefined,)
WARN    := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wpointer-arith -Wformat=2
CFLAGS  := -std=gnu11 -O2 -g $(WARN) $(SANFLAGS) -Isrc -I. -MMD -MP $(shell pkg-config --cflags $(PKGS))
LDLIBS  := $(shell pkg-config --libs $(PKGS)) -lpthread -lm
LDFLAGS := $(SANFLAGS)

LIBSRC  := $(filter-out src/process/main.c,$(wildcard src/*/*.c src/*/*/*.c src/*/*/*/*.c)) $(wildcard platform/*.c)
LIBOBJ  := $(LIBSRC:%.c=$(OUT)/%.o)
LIB     := $(OUT)/libmedlarplank.a
DAEMON  := $(OUT)/medlarplankd
CTL     := $(OUT)/medlarplankctl
STANDINS := $(patsubst standin/standin_%.c,$(OUT)/standin-%,$(wildcard standin/standin_*.c))
SHARED_STANDIN := $(patsubst %.c,$(OUT)/%.o,$(filter-out $(wildcard standin/standin_*.c),$(wildcard standin/*.c)))
UNIT    := $(patsubst tests/test_%.c,$(OUT)/test-%,$(wildcard tests/test_*.c))
SESSIONLIB := $(patsubst %.c,$(OUT)/%.o,$(filter-out $(wildcard tests/test_*.c tests/session_*.c),$(wildcard tests/*.c)))
SESSIONS := $(patsubst tests/session_%.c,$(OUT)/session-%,$(wildcard tests/session_*.c))
BENCHES := $(patsubst bench/bench_%.c,$(OUT)/bench-%,$(wildcard bench/bench_*.c))
SPREADLIB := $(patsubst %.c,$(OUT)/%.o,$(wildcard bench/spread/*.c))
GATEWAYSIM := $(patsubst %.c,$(OUT)/%.o,$(wildcard bench/gateway/*.c))
BENCHLIB := $(patsubst %.c,$(OUT)/%.o,$(filter-out $(wildcard bench/bench_*.c),$(wildcard bench/*.c)))
SOAK    := $(OUT)/soak-run
CSRC    := $(filter-out src/proto/%,$(wildcard src/*/*.[ch] src/*/*/*.[ch] src/*/*/*/*.[ch] platform/*.[ch] ctl/*.[ch] standin/*.[ch] tests/*.[ch] soak/*.[ch] bench/*.[ch] bench/spread/*.[ch] bench/gateway/*.[ch]))

all: $(DAEMON) $(CTL) $(STANDINS) $(BENCHES)

$(OUT)/src/proto/%.o: src/proto/%.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -Wno-unused-variable -Wno-missing-prototypes -Wno-strict-prototypes -c $< -o $@

$(OUT)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -c $< -o $@

$(LIB): $(LIBOBJ)
	rm -f $@
	ar rcs $@ $^

$(DAEMON): $(OUT)/src/process/main.o $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(CTL): $(patsubst %.c,$(OUT)/%.o,$(wildcard ctl/*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(OUT)/standin-%: $(OUT)/standin/standin_%.o $(SHARED_STANDIN) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(OUT)/test-%: $(OUT)/tests/test_%.o $(SESSIONLIB) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ -lcunit $(LDLIBS)

# Play the simulation of bench-gateway.
$(OUT)/test-gateway_load $(OUT)/test-room_load: $(OUT)/test-%: $(OUT)/tests/test_%.o $(GATEWAYSIM) $(BENCHLIB) $(SESSIONLIB) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ -lcunit $(LDLIBS)

# The parts of the stand-ins that have unit tests of their own.
$(OUT)/test-standin: $(SHARED_STANDIN)

$(OUT)/session-%: $(OUT)/tests/session_%.o $(SESSIONLIB) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ -lcunit $(LDLIBS)

# Its fakes take the place of the library's exchange and fetch, so they come before it.
$(OUT)/bench-spread: $(OUT)/bench/bench_spread.o $(SPREADLIB) $(BENCHLIB) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(OUT)/bench-gateway $(OUT)/bench-room: $(OUT)/bench-%: $(OUT)/bench/bench_%.o $(GATEWAYSIM) $(BENCHLIB) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(OUT)/bench-%: $(OUT)/bench/bench_%.o $(BENCHLIB) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

$(SOAK): $(patsubst %.c,$(OUT)/%.o,$(wildcard soak/*.c)) $(LIB)
	$(CC) $(LDFLAGS) $^ -o $@ $(LDLIBS)

# SEEDS: those to run; SECONDS: of faults in each. Kinds of faults beside the usual ones, or with SILENCES=1 in place of
# them, are told in soak/run.sh.
SEEDS   ?= 1 2 3
SECONDS ?= 12
soak: all $(SOAK)
	printf '%s $(SECONDS)\n' $(SEEDS) | soak/run.sh $(OUT)

# The seeds that ever failed, each with its time.
soak-seeds: all $(SOAK)
	KNOWN_SEEDS=1 soak/run.sh $(OUT) <soak/seeds.txt

unit: $(UNIT)
	tests/run.sh $(OUT) $(UNIT)

sessions: all $(SESSIONS)
	tests/run.sh $(OUT) $(SESSIONS)

check: all $(UNIT) $(SESSIONS)
	tests/run.sh $(OUT) $(UNIT) $(SESSIONS)

demo:
	./install-packages.sh
	$(MAKE) all
	examples/demo_gateway.sh $(OUT)
	examples/demo.sh $(OUT)

format:
	clang-format -i $(CSRC)

# varFuncNullUB is left to gcc's sentinel check, which knows that NULL is a pointer here.
lint:
	tests/check_tree.sh
	clang-format --dry-run --Werror $(CSRC)
	cppcheck --quiet --error-exitcode=1 --enable=warning,portability --inline-suppr \
	  --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches --suppress=varFuncNullUB -DTAILQ_FOREACH=for '-DG_DEFINE_AUTOPTR_CLEANUP_FUNC(type,func)=' '-DG_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(type,func)=' -Isrc $(filter %.c,$(CSRC))

TIDYSRC := $(filter-out src/proto/%,$(wildcard src/*/*.c src/*/*/*.c src/*/*/*/*.c platform/*.c ctl/*.c standin/*.c soak/*.c))
tidy:
	printf '%s\n' $(TIDYSRC) | xargs -P 4 -I{} clang-tidy --quiet {} -- \
	  -std=gnu11 -Isrc -I. $(shell pkg-config --cflags $(PKGS)) 2>/dev/null

clean:
	rm -rf build build-san

-include $(shell find $(OUT) -name '*.d' 2>/dev/null)
.PHONY: all soak soak-seeds unit sessions check demo format lint tidy clean
.SECONDARY:
