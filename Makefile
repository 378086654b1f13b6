# Two commands do everything on a fresh machine: make demo, make test.
.PHONY: build demo test bench check format

build:
	scripts/install.sh
	cmake -S . -B build -G Ninja
	ninja -C build

demo: build
	scripts/demo.sh

test: build
	ctest --test-dir build --output-on-failure -E "$$(scripts/known-red.sh)"

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

check:
	scripts/check-style.sh

bench: build
	build/guavabay-bench
