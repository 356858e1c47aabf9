/** First-in first-out queue whose items can be cancelled in constant time. */

/** Handle of an item in a queue; `live` is false once the item was cancelled or removed. */
export type FifoSlot<T> = {readonly value: T; live: boolean};

/** Creates an empty queue. */
export const createFifo = <T>() => {
	let items: Array<FifoSlot<T>> = [];
	let head = 0;
	let live = 0;

	const compact = (): void => {
		if (head > 64 && head * 2 > items.length) {
			items = items.slice(head);
			head = 0;
		}
	};

	const skipCancelled = (): void => {
		while (head < items.length && !items[head]!.live) {
			head += 1;
		}

		compact();
	};

	return {
		size: () => live,

		push(value: T): FifoSlot<T> {
			const slot = {value, live: true};
			items.push(slot);
			live += 1;
			return slot;
		},

		/** Cancels an item. It stays in the array until it reaches the head, where it is skipped. */
		cancel(slot: FifoSlot<T>): void {
			if (slot.live) {
				slot.live = false;
				live -= 1;
			}
		},

		peek(): T | undefined {
			skipCancelled();
			return items[head]?.value;
		},

		shift(): T | undefined {
			skipCancelled();
			const slot = items[head];
			if (!slot) {
				return undefined;
			}

			slot.live = false;
			live -= 1;
			head += 1;
			return slot.value;
		},

		values: (): T[] => items.filter(slot => slot.live).map(slot => slot.value),
	};
};

/** A queue created by {@link createFifo}. */
export type Fifo<T> = ReturnType<typeof createFifo<T>>;
