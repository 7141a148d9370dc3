# "make demo" runs the demo, "make check" runs the tests.
BUILD ?= build

.PHONY: demo check build format lint clean

build:
	bash tools/setup.sh
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

demo: build
	$(BUILD)/papayahook-demo

check: build
	cd $(BUILD) && ctest --output-on-failure

format:
	clang-format -i $$(git ls-files '*.cpp' '*.hpp')

lint:
	bash tools/lint.sh $(BUILD)

clean:
	cmake --build $(BUILD) --target clean
