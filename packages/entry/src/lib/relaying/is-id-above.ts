const wholeNumber = /^\d+$/;

/** Whether an event with this id may follow the event with the id `lastId`: ids that are whole numbers rise, and no other id comes twice in a row. Pure. */
export const isIdAbove = (id: string, lastId: string): boolean =>
	wholeNumber.test(id) && wholeNumber.test(lastId) ? BigInt(id) > BigInt(lastId) : id !== lastId;
