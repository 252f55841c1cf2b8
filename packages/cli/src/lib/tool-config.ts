/** What the tool reads from its configuration file. */
export type ToolConfig = {
	/** The platform's object API. */
	readonly platform: string;
	/** Doors for operators of the hosts, such as `http://10.0.0.1:7002`. */
	readonly hosts: readonly string[];
	/** The same as in the daemons' settings. */
	readonly slots: number;
};
