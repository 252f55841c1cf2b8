/** Short quick requests and long slow ones. */
export const mix = {
	quickShare: 0.7, quickTokens: 8, slowTokens: 60, documents: 12, documentChars: 2400,
} as const;
