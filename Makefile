# Build, test, lint and run. CI calls these too.
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files '*.cpp' '*.h')
CONFIG ?= $(PROXY_CONFIG)

.PHONY: build test test-san lint format run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

test:
	cmake -B build-test -DCMAKE_BUILD_TYPE=Release -DLEMONCROFT_BUILD_TESTS=ON
	cmake --build build-test -j$(JOBS)
	ctest --test-dir build-test --output-on-failure -j4

test-san:
	cmake -B build-san -DCMAKE_BUILD_TYPE=RelWithDebInfo -DLEMONCROFT_BUILD_TESTS=ON -DLEMONCROFT_SANITIZE=ON
	cmake --build build-san -j$(JOBS)
	ctest --test-dir build-san --output-on-failure -j4

lint:
	clang-format --dry-run --Werror $(SOURCES)
	cmake -B build-lint -DLEMONCROFT_BUILD_TESTS=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON
	git ls-files '*.cpp' | grep -v '^examples/' | xargs -P$(JOBS) -n2 clang-tidy --quiet -p build-lint

format:
	clang-format -i $(SOURCES)

run: build
	build/lemoncroft serve --config $(CONFIG)

clean:
	rm -rf build build-test build-san build-lint
