/** Parses JSON. Returns `undefined` if the text is not valid JSON. The caller must check the shape of the value. */
export const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
