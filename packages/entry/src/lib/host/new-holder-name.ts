/** Names are written in digits and letters. */
const radix = 36;

/** How many random parts there are: two lives that begin in one millisecond still differ. */
const randomValues = radix ** 3;

/** A new name for this life of a host, as a holder of rights: the host's name, `#`, and what differs after each start. */
export const newHolderName = (host: string): string =>
	`${host}#${Date.now().toString(radix)}${Math.floor(Math.random() * randomValues).toString(radix)}`;
