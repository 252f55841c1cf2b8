/** An action on a link that a health event calls for. */
export type LinkHealthEffect =
	| 'ping'
	| 'dial_replacement'
	| 'drop_replacement'
	/** Makes the second link the one in use and closes the first. */
	| 'replace'
	| 'close';
