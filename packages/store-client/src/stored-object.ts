/** An object of the platform's store. */
export type StoredObject = {
	readonly key: string;
	/** Increases with every write of the object. */
	readonly version: number;
	/** Any JSON value. The reader must check its shape. */
	readonly value: unknown;
};
