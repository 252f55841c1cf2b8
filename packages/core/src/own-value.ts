/**
Returns what a record has under a name; `undefined` where there is no record, or it has nothing of its own, also for the names of members that every object
inherits, such as `constructor`. Names that come from outside are looked up by this function only. Pure.
*/
export const ownValue = <T>(record: Readonly<Record<string, T>> | undefined, name: string): T | undefined =>
	record && Object.hasOwn(record, name) ? record[name] : undefined;
