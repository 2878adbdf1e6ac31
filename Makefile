# Builds auburnwing. `make demo` and `make check` work from a clean clone.
CC       ?= gcc
CXX      ?= g++
B        ?= build
OPT      ?= -O2 -g
SAN      ?=
WARN     := -Wall -Wextra -Werror -Wshadow -Wno-unused-parameter
CPPFLAGS += -D_GNU_SOURCE -Isrc -I. -I$(B)/gen $(shell pkg-config --cflags libtirpc)
CFLAGS   += -std=gnu11 $(OPT) $(SAN) $(WARN) -pthread
CXXFLAGS += -std=c++17 $(OPT) $(SAN) -Wall -Wextra -Werror -fno-exceptions -fno-rtti -pthread
LDLIBS   := -lulfius -lorcania -lyder -lmicrohttpd -lcurl -ljansson -largtable2 -llog4c -lxxhash \
            -lisal -lsodium -lgsl -lgslcblas -ltirpc -lhttp_parser -lev -lstdc++ -lm -lpthread

LIB_SRC  := $(wildcard src/base/*.c src/proto/*.c src/raft/*.c src/state/*.c src/policy/*.c src/client/*.c src/net/*.c platform/*.c)
LIB_OBJ  := $(LIB_SRC:%.c=$(B)/obj/%.o) $(B)/obj/src/base/toml.o
LIB      := $(B)/lib/libauburn.a

objs      = $(patsubst %.c,$(B)/obj/%.o,$(wildcard $(1)))
CONTROL  := $(call objs,src/control/*.c)
ENTRY    := $(call objs,src/entry/*.c)
CTL      := $(call objs,src/ctl/*.c)
FRONT    := $(call objs,src/front/*.c)
BENCH    := $(call objs,bench/*.c)
FAKE_COMMON := $(call objs,fakes/fake_*.c)
FAKES    := $(patsubst fakes/%.c,$(B)/bin/auburn-%,$(filter-out fakes/fake_%,$(wildcard fakes/*.c)))
TOOLS    := $(patsubst tools/%.c,$(B)/bin/auburn-%,$(filter-out tools/inproc_%,$(wildcard tools/*.c)))
PROGS    := $(if $(CONTROL),$(B)/bin/auburn-control) $(B)/bin/auburn-front $(if $(ENTRY),$(B)/bin/auburn-entry) \
            $(if $(CTL),$(B)/bin/auburnctl) $(if $(BENCH),$(B)/bin/auburn-bench) $(FAKES) $(TOOLS)
UNIT     := $(patsubst tests/unit/%.c,$(B)/test/%,$(wildcard tests/unit/test_*.c))
SOURCES  := $(wildcard src/*/*.c src/*/*.h platform/*.c platform/*.h fakes/*.c fakes/*.h bench/*.c bench/*.h tools/*.c tools/*.h tests/unit/*.c tests/unit/*.h)
OWN      := $(filter-out src/proto/%_xdr.c src/proto/%_xdr.h,$(SOURCES))

.PHONY: all check demo bench capacity soak lint format format-check install unit clean generate
.SECONDARY:

all: $(PROGS)

install:
	@tools/install

$(LIB): $(LIB_OBJ)
	@mkdir -p $(@D)
	@rm -f $@
	ar rcs $@ $^

$(B)/obj/src/proto/%_xdr.o: src/proto/%_xdr.c src/proto/px_grow.h
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) -include src/proto/px_grow.h -std=gnu11 $(OPT) $(SAN) -w -pthread -MMD -MP -c $< -o $@

$(B)/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c $< -o $@

$(B)/obj/%.o: %.cpp
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

link = @mkdir -p $(@D); $(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

$(B)/bin/auburn-control: $(CONTROL) $(LIB)
	$(link)
$(B)/bin/auburn-entry: $(ENTRY) $(LIB)
	$(link)
$(B)/bin/auburn-front: $(FRONT) $(LIB)
	$(link)
$(B)/bin/auburnctl: $(CTL) $(LIB)
	$(link)
$(B)/bin/auburn-bench: $(BENCH) $(LIB)
	$(link)
$(FAKES): $(B)/bin/auburn-%: $(B)/obj/fakes/%.o $(FAKE_COMMON) $(LIB)
	$(link)
$(TOOLS): $(B)/bin/auburn-%: $(B)/obj/tools/%.o $(LIB)
	$(link)
# The simulation of the Raft core is used by auburn-core-random and by test_raft.
SIM      := $(patsubst %.c,$(B)/obj/%.o,$(wildcard tests/unit/sim*.c))
$(B)/bin/auburn-core-random $(B)/test/test_raft: $(SIM)
$(B)/bin/auburn-log-bench: $(B)/obj/tools/inproc_replicas.o
$(B)/bin/auburn-core-random $(B)/test/test_raft $(B)/bin/auburn-log-bench: LDLIBS := $(LIB) $(LDLIBS)
$(B)/test/%: $(B)/obj/tests/unit/%.o $(LIB)
	@mkdir -p $(@D); $(CC) $(CFLAGS) -o $@ $^ -lcheck -lsubunit -lrt $(LDLIBS)

# The output of rpcgen is committed; run this after a change to a .x file.
generate:
	cd src/proto && for f in *.x; do b=$${f%.x}; rm -f $${b}_xdr.h $${b}_xdr.c; \
	  rpcgen -C -h -o $${b}_xdr.h $$f; rpcgen -C -c -o $${b}_xdr.c $$f; \
	  sed -i "s/#include \"$$b.h\"/#include \"$${b}_xdr.h\"/" $${b}_xdr.c; done

unit: $(UNIT)

check: install
	@$(MAKE) --no-print-directory -j$$(nproc) all unit
	@tests/run

demo: install
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@python3 tests/demo.py

bench: install
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@python3 bench/run.py

capacity: install
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@python3 bench/capacity.py

soak: install
	@$(MAKE) --no-print-directory -j$$(nproc) all
	@tests/soak

format:
	clang-format -i $(OWN)

format-check:
	clang-format --dry-run --Werror $(OWN)

lint: format-check
	@printf '%s\n' $(filter %.c,$(OWN)) | xargs -P $$(nproc) -I{} tools/tidy {} $(CPPFLAGS)
	cppcheck --quiet --enable=warning,performance,portability --inline-suppr --error-exitcode=1 \
	  --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches --suppress=nullPointerOutOfMemory \
	  -j $$(nproc) --library=tools/cppcheck.cfg --std=c11 -Isrc $(filter %.c,$(OWN))

clean:
	rm -rf $(B)

-include $(shell find $(B) -name '*.d' 2>/dev/null)
