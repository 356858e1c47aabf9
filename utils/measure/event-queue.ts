/** Priority queue of timed callbacks, for simulations on a virtual clock. */

type Item = {atMs: number; order: number; run(): void};

/** Creates an empty queue at time 0. */
export const createEventQueue = () => {
	const heap: Item[] = [];
	let order = 0;
	let nowMs = 0;

	const isBefore = (left: Item, right: Item): boolean => left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

	const swap = (left: number, right: number): void => {
		[heap[left], heap[right]] = [heap[right]!, heap[left]!];
	};

	const siftUp = (start: number): void => {
		let index = start;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(heap[index]!, heap[parent]!)) {
				return;
			}

			swap(index, parent);
			index = parent;
		}
	};

	const siftDown = (): void => {
		let index = 0;
		for (;;) {
			const children = [(2 * index) + 1, (2 * index) + 2].filter(child => child < heap.length);
			const least = children.reduce((best, child) => (isBefore(heap[child]!, heap[best]!) ? child : best), index);
			if (least === index) {
				return;
			}

			swap(index, least);
			index = least;
		}
	};

	return {
		nowMs: () => nowMs,

		at(atMs: number, run: () => void): void {
			order += 1;
			heap.push({atMs: Math.max(atMs, nowMs), order, run});
			siftUp(heap.length - 1);
		},

		/** Runs all callbacks that are due up to a time, and sets the clock to it. */
		runUntil(endMs: number): void {
			while (heap.length > 0 && heap[0]!.atMs <= endMs) {
				const item = heap[0]!;
				const last = heap.pop()!;
				if (heap.length > 0) {
					heap[0] = last;
					siftDown();
				}

				nowMs = item.atMs;
				item.run();
			}

			nowMs = endMs;
		},
	};
};

/** Priority queue of timed callbacks; those due at the same time run in insertion order. */
export type EventQueue = ReturnType<typeof createEventQueue>;
