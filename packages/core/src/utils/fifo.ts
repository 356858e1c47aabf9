/** First-in first-out queue whose items can be cancelled in constant time. */

/** An item's place in a queue. */
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

	const skipDead = (): void => {
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

		/** Cancels an item; the head passes over it once. */
		cancel(slot: FifoSlot<T>): void {
			if (slot.live) {
				slot.live = false;
				live -= 1;
			}
		},

		peek(): T | undefined {
			skipDead();
			return items[head]?.value;
		},

		shift(): T | undefined {
			skipDead();
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

/** The queue that {@link createFifo} makes. */
export type Fifo<T> = ReturnType<typeof createFifo<T>>;
