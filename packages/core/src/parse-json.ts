/** Parses JSON; `undefined` when the text is none. Whoever reads the value checks its shape. */
export const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
