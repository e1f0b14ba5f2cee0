# Thin wrappers over CMake; see README.md.
BUILD ?= build
# Tests that KNOWN-RED.txt lists as "ctest NAME:".
KNOWN_RED := $(strip $(shell sed -n 's/^ctest \([a-z0-9_]*\):.*/\1/p' KNOWN-RED.txt))
empty :=
space := $(empty) $(empty)

.PHONY: install build check demo bench format lint clean

install:
	./scripts/install_packages.sh

build:
	cmake -G Ninja -B $(BUILD) . > /dev/null
	ninja -C $(BUILD)

check: install build
	@echo "passed over, see KNOWN-RED.txt: $(KNOWN_RED)"
	ctest --test-dir $(BUILD) --output-on-failure \
	  --exclude-regex '^($(if $(KNOWN_RED),$(subst $(space),|,$(KNOWN_RED)),none))$$'

demo: install build
	./scripts/demo.sh $(BUILD)

format:
	./scripts/check_format.sh

lint: build
	./scripts/lint.sh $(BUILD)

clean:
	rm -rf $(BUILD)
