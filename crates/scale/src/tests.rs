mod scenarios;
