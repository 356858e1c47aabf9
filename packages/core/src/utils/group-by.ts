/** Groups values by key; keys and values keep the order of the input. */
export const groupBy = <Value, Key>(values: Iterable<Value>, keyOf: (value: Value) => Key): Map<Key, Value[]> => {
	const groups = new Map<Key, Value[]>();
	for (const value of values) {
		const key = keyOf(value);
		const group = groups.get(key);
		if (group) {
			group.push(value);
		} else {
			groups.set(key, [value]);
		}
	}

	return groups;
};
