/** The suffix of a name is written in digits and lower-case letters. */
const radix = 36;

/** How many values the random part of a suffix has, so that two incarnations that start in the same millisecond differ. */
const randomValues = radix ** 3;

/** Returns a new name for an incarnation of a host, as a holder of rights: the host's name, `#`, and a suffix that differs after each start. */
export const newHolderName = (host: string): string =>
	`${host}#${Date.now().toString(radix)}${Math.floor(Math.random() * randomValues).toString(radix)}`;
