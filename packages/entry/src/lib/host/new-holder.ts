/** The random part of a life's name: two lives that begin in one millisecond still differ. */
const randomValues = 36 ** 3;

/** A new name for this life of a host, as a holder of rights: the host's name, `#`, and what differs after each start. */
export const newHolder = (host: string): string =>
	`${host}#${Date.now().toString(36)}${Math.floor(Math.random() * randomValues).toString(36)}`;
