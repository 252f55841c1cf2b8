/** An object of the platform's store. */
export type StoredObject = {
	readonly key: string;
	/** Rises with every write of the object. */
	readonly version: number;
	/** Any JSON value. Whoever reads it checks its shape. */
	readonly value: unknown;
};
